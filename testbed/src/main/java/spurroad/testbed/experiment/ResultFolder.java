package spurroad.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Stores results: a folder for each scenario, build and seed, with the scenario's text, logs and the result.
 * A result is written atomically when its run is over; a folder without one holds a run that was cut off, and
 * is run again.
 */
public final class ResultFolder {
    private static final String RESULT_FILE = "result.json";
    private static final String SCENARIO_FILE = "scenario.toml";
    private static final String PARTIAL_MARK = "PARTIAL";
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Path root;

    /** Creates a store below a folder, which is created with the first run. */
    public ResultFolder(Path root) {
        this.root = root;
    }

    /** Returns the folder of one run. */
    public Path of(String scenario, String build, long seed) {
        return root.resolve(fileName(scenario)).resolve(fileName(build)).resolve("seed-" + seed);
    }

    /** Returns the file that holds the scenario of a result as it was run. */
    Path scenarioFile(Result result) {
        return of(result.scenario(), result.build(), result.seed()).resolve(SCENARIO_FILE);
    }

    private static String fileName(String name) {
        return name.replaceAll("[^A-Za-z0-9._-]+", "-");
    }

    /** Begins a run: clears its folder, and writes the scenario and a mark that the run is partial. */
    public Path begin(String scenario, String build, long seed, String scenarioText) throws IOException {
        Path folder = of(scenario, build, seed);
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(SCENARIO_FILE), scenarioText);
        Files.writeString(folder.resolve(PARTIAL_MARK), "this run is under way, or was cut off\n");
        return folder;
    }

    /** Stores a result atomically, and removes the mark. */
    public void done(Path folder, Result result) throws IOException {
        Path draft = folder.resolve(RESULT_FILE + ".draft");
        Files.write(draft, JSON.writeValueAsBytes(result));
        Files.move(draft, folder.resolve(RESULT_FILE), StandardCopyOption.ATOMIC_MOVE);
        Files.deleteIfExists(folder.resolve(PARTIAL_MARK));
    }

    /** Returns the result of a finished run of the same scenario, to the letter. */
    public Optional<Result> find(String scenario, String build, long seed, String scenarioText)
        throws IOException {
        Path folder = of(scenario, build, seed);
        Path result = folder.resolve(RESULT_FILE);
        boolean isSameScenario = Files.exists(result) && Files.exists(folder.resolve(SCENARIO_FILE))
            && Files.readString(folder.resolve(SCENARIO_FILE), StandardCharsets.UTF_8).equals(scenarioText);
        return isSameScenario ? Optional.of(read(result)) : Optional.empty();
    }

    /** Returns all results below the folder, in the order of their paths. */
    public List<Result> all() throws IOException {
        List<Result> results = new ArrayList<>();
        for (Path file : filesNamed(RESULT_FILE)) {
            results.add(read(file));
        }
        return results;
    }

    /** Returns the folders of runs that were cut off. */
    public List<Path> partial() throws IOException {
        return filesNamed(PARTIAL_MARK).stream().map(Path::getParent).toList();
    }

    private List<Path> filesNamed(String name) throws IOException {
        if (!Files.isDirectory(root)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.getFileName().toString().equals(name)).sorted().toList();
        }
    }

    /** Returns a result, or any other value, as indented JSON. */
    public static String json(Object result) throws IOException {
        return JSON.writeValueAsString(result);
    }

    private static Result read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), Result.class);
    }
}

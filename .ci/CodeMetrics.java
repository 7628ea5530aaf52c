import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.DocTrees;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreePathScanner;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.lang.model.element.Modifier;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * Measures the readability of the main sources: {@code java .ci/CodeMetrics.java FOLDER}. Lists files over
 * 400 lines, methods over 40 lines, classes with over 12 fields that are not final, and public items without
 * a doc comment, then the four counts.
 */
final class CodeMetrics {
    private static final int LONGEST_FILE = 400;
    private static final int LONGEST_METHOD = 40;
    private static final int MOST_MUTABLE_FIELDS = 12;

    private final DocTrees trees;
    private final List<String> files = new ArrayList<>();
    private final List<String> methods = new ArrayList<>();
    private final List<String> classes = new ArrayList<>();
    private final List<String> undocumented = new ArrayList<>();

    private CodeMetrics(DocTrees trees) {
        this.trees = trees;
    }

    /** Prints the metrics of the repository whose root is the only argument. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1) {
            System.err.println("usage: java .ci/CodeMetrics.java FOLDER");
            System.exit(2);
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        try (StandardJavaFileManager manager = compiler.getStandardFileManager(null, null,
            StandardCharsets.UTF_8)) {
            JavacTask task = (JavacTask) compiler.getTask(null, manager, null, List.of("-proc:none"), null,
                manager.getJavaFileObjectsFromPaths(sources(Path.of(arguments[0]))));
            CodeMetrics metrics = new CodeMetrics(DocTrees.instance(task));
            for (CompilationUnitTree unit : task.parse()) {
                metrics.measure(unit);
            }
            metrics.print();
        }
    }

    private static List<Path> sources(Path root) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(path -> path.toString().matches(".*/src/main/java/.*\\.java")).sorted()
                .toList();
        }
    }

    private void measure(CompilationUnitTree unit) throws IOException {
        String file = Path.of(unit.getSourceFile().toUri()).getFileName().toString();
        long lines = unit.getSourceFile().getCharContent(true).chars().filter(c -> c == '\n').count();
        if (lines > LONGEST_FILE) {
            files.add(file + " " + lines);
        }
        new TreePathScanner<Void, Void>() {
            @Override
            public Void visitClass(ClassTree type, Void unused) {
                measureClass(unit, file, type);
                checkComment(type, type.getModifiers().getFlags().contains(Modifier.PUBLIC),
                    file + " " + type.getSimpleName());
                return super.visitClass(type, unused);
            }

            @Override
            public Void visitMethod(MethodTree method, Void unused) {
                measureMethod(unit, file, method);
                boolean overrides = method.getModifiers().getAnnotations().stream()
                    .anyMatch(annotation -> annotation.toString().startsWith("@Override"));
                checkComment(method, method.getModifiers().getFlags().contains(Modifier.PUBLIC) && !overrides,
                    file + " " + method.getName());
                return super.visitMethod(method, unused);
            }

            private void checkComment(Tree tree, boolean isPublic, String name) {
                if (isPublic && trees.getDocComment(getCurrentPath()) == null) {
                    undocumented.add(name);
                }
            }
        }.scan(unit, null);
    }

    private void measureClass(CompilationUnitTree unit, String file, ClassTree type) {
        long mutable = type.getMembers().stream()
            .filter(member -> member instanceof VariableTree field
                && !field.getModifiers().getFlags().contains(Modifier.FINAL))
            .count();
        boolean hasState = type.getKind() == Tree.Kind.CLASS || type.getKind() == Tree.Kind.ENUM;
        if (hasState && mutable > MOST_MUTABLE_FIELDS) {
            classes.add(file + " " + type.getSimpleName() + " " + mutable);
        }
    }

    private void measureMethod(CompilationUnitTree unit, String file, MethodTree method) {
        long from = unit.getLineMap().getLineNumber(
            trees.getSourcePositions().getStartPosition(unit, method));
        long end = trees.getSourcePositions().getEndPosition(unit, method);
        if (end >= 0) {
            long lines = unit.getLineMap().getLineNumber(end) - from + 1;
            if (lines > LONGEST_METHOD) {
                methods.add(file + " " + method.getName() + " " + lines);
            }
        }
    }

    private void print() {
        print("files over " + LONGEST_FILE + " lines", files);
        print("methods over " + LONGEST_METHOD + " lines", methods);
        print("classes with over " + MOST_MUTABLE_FIELDS + " mutable fields", classes);
        print("public items without a doc comment", undocumented);
    }

    private static void print(String what, List<String> found) {
        System.out.println(what + ": " + found.size());
        found.forEach(each -> System.out.println("  " + each));
    }
}

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
    private static final int MAX_FILE_LINES = 400;
    private static final int MAX_METHOD_LINES = 40;
    private static final int MAX_MUTABLE_FIELDS = 12;

    private final DocTrees trees;
    private final List<String> longFiles = new ArrayList<>();
    private final List<String> longMethods = new ArrayList<>();
    private final List<String> classesWithManyMutableFields = new ArrayList<>();
    private final List<String> undocumentedItems = new ArrayList<>();

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
        if (lines > MAX_FILE_LINES) {
            longFiles.add(file + " " + lines);
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
                    undocumentedItems.add(name);
                }
            }
        }.scan(unit, null);
    }

    private void measureClass(CompilationUnitTree unit, String file, ClassTree type) {
        long mutableFields = type.getMembers().stream()
            .filter(member -> member instanceof VariableTree field
                && !field.getModifiers().getFlags().contains(Modifier.FINAL))
            .count();
        boolean hasState = type.getKind() == Tree.Kind.CLASS || type.getKind() == Tree.Kind.ENUM;
        if (hasState && mutableFields > MAX_MUTABLE_FIELDS) {
            classesWithManyMutableFields.add(file + " " + type.getSimpleName() + " " + mutableFields);
        }
    }

    private void measureMethod(CompilationUnitTree unit, String file, MethodTree method) {
        long startLine = unit.getLineMap().getLineNumber(
            trees.getSourcePositions().getStartPosition(unit, method));
        long endPosition = trees.getSourcePositions().getEndPosition(unit, method);
        if (endPosition >= 0) {
            long lines = unit.getLineMap().getLineNumber(endPosition) - startLine + 1;
            if (lines > MAX_METHOD_LINES) {
                longMethods.add(file + " " + method.getName() + " " + lines);
            }
        }
    }

    private void print() {
        print("files over " + MAX_FILE_LINES + " lines", longFiles);
        print("methods over " + MAX_METHOD_LINES + " lines", longMethods);
        print("classes with over " + MAX_MUTABLE_FIELDS + " mutable fields", classesWithManyMutableFields);
        print("public items without a doc comment", undocumentedItems);
    }

    private static void print(String title, List<String> found) {
        System.out.println(title + ": " + found.size());
        found.forEach(item -> System.out.println("  " + item));
    }
}

package ivybank.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/** Compiles the program's source with a few words changed, to be put before the true classes on a class path. */
public final class MutatedClasses {

    private static final Path SOURCES = Path.of("src/main/java/ivybank");

    /**
     * A change of the source.
     *
     * @param file below the program's main package
     * @param from code that stands there, whatever its white space
     * @param to what takes its place
     */
    public record Edit(String file, String from, String to) {}

    private MutatedClasses() {}

    /** Replaces each occurrence of the code that an edit names, however the formatter has broken its lines. */
    private static String replaceCode(String text, Edit edit, String mutantName) {
        StringBuilder code = new StringBuilder();
        List<Integer> positions = new ArrayList<>();
        for (int i = 0; i < text.length(); i++) {
            if (!Character.isWhitespace(text.charAt(i))) {
                code.append(text.charAt(i));
                positions.add(i);
            }
        }
        String from = edit.from().replaceAll("\\s", "");
        int found = code.indexOf(from);
        assertTrue(found >= 0, mutantName + ": " + edit.file() + " has changed, look at: " + edit.from());
        StringBuilder changed = new StringBuilder();
        int copied = 0;
        while (found >= 0) {
            changed.append(text, copied, positions.get(found)).append(edit.to());
            copied = positions.get(found + from.length() - 1) + 1;
            found = code.indexOf(from, found + from.length());
        }
        return changed.append(text.substring(copied)).toString();
    }

    /** Compiles the changed files into a folder of their own. */
    public static void compile(String mutantName, List<Edit> edits, Path into) throws IOException {
        Map<String, String> texts = new LinkedHashMap<>();
        for (Edit edit : edits) {
            String text = texts.containsKey(edit.file())
                    ? texts.get(edit.file())
                    : Files.readString(SOURCES.resolve(edit.file()));
            texts.put(edit.file(), replaceCode(text, edit, mutantName));
        }
        List<String> arguments = new ArrayList<>(List.of(
                "-nowarn",
                "-proc:none",
                "-cp",
                "target/classes:" + System.getProperty("java.class.path"),
                "-d",
                into.toString()));
        for (Map.Entry<String, String> each : texts.entrySet()) {
            Path source = into.resolve("src").resolve(each.getKey());
            Files.createDirectories(source.getParent());
            arguments.add(Files.writeString(source, each.getValue()).toString());
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter said = new StringWriter();
        boolean good = compiler.getTask(
                        said,
                        null,
                        null,
                        arguments.subList(0, 6),
                        null,
                        compiler.getStandardFileManager(null, null, null)
                                .getJavaFileObjectsFromStrings(arguments.subList(6, arguments.size())))
                .call();
        assertTrue(good, () -> mutantName + ": " + said);
    }
}

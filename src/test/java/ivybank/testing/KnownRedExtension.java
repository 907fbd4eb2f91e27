package ivybank.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests that KNOWN-RED.txt lists, prints how they fail and reports them as aborted, so that the build passes over
 * these and no others. A line of the file is {@code Class#method: cause, issue}, or {@code Class#method(36): cause, issue} for the run
 * of a parameterized test with this argument alone; lines that begin with # are comments.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler {

    private static final Path LIST = Path.of("KNOWN-RED.txt");

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        String name = context.getRequiredTestClass().getSimpleName() + "#"
                + context.getRequiredTestMethod().getName();
        for (String line : lines()) {
            if (lists(line, name, context.getDisplayName())) {
                System.out.println("KNOWN RED " + line + " | " + context.getDisplayName() + ": " + failure);
                throw new TestAbortedException("known red: " + line, failure);
            }
        }
        throw failure;
    }

    /** Whether a line of the file is for the run of this method that is displayed so: JUnit's {@code [1] 36}, or {@code [1] seed=36}. */
    static boolean lists(String line, String method, String displayName) {
        if (line.startsWith(method + ":")) {
            return true;
        }
        int end = line.indexOf("):");
        if (!line.startsWith(method + "(") || end < 0) {
            return false;
        }
        String argument = line.substring(method.length() + 1, end);
        return displayName.matches("\\[\\d+] (\\w+ ?= ?)?" + Pattern.quote(argument));
    }

    private static List<String> lines() throws IOException {
        return Files.exists(LIST) ? Files.readAllLines(LIST) : List.of();
    }
}

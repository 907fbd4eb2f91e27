package ivybank.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML file that is read strictly: each value is requested with its type and range, and {@link
 * #rejectUnknownKeys} fails on keys that nobody requested. Every error names the file, the key and the allowed values.
 */
public final class StrictTable {

    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> requestedKeys = new TreeSet<>();

    private StrictTable(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /**
     * Parses a whole file and returns its root table.
     *
     * @param file the file's name in error messages
     */
    public static StrictTable parse(String file, String text) throws InputException {
        try {
            return new StrictTable(file, "", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : ", line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw new InputException(file + location + ": not valid TOML: "
                    + e.getOriginalMessage().lines().findFirst().orElse("it cannot be parsed"));
        }
    }

    /** Returns an error about a key of this table. */
    public InputException error(String key, String what) {
        return new InputException(file + ": " + path + key + " " + what);
    }

    private JsonNode value(String key) {
        requestedKeys.add(key);
        return node.path(key);
    }

    /** Returns whether the table contains the key. */
    public boolean has(String key) {
        return !value(key).isMissingNode();
    }

    /** Returns a non-empty string; a {@code defaultValue} of null makes the key mandatory. */
    public String text(String key, String defaultValue) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            throw error(key, "must be a non-empty string");
        }
        return value.asText();
    }

    /** Returns a string that must be one of the allowed values. */
    public String choice(String key, List<String> allowed, String defaultValue) throws InputException {
        String choice = text(key, defaultValue);
        if (!allowed.contains(choice)) {
            throw error(key, "is \"" + choice + "\": one of " + allowed + " is allowed");
        }
        return choice;
    }

    /** Returns a boolean, or the default where the key is absent. */
    public boolean flag(String key, boolean defaultValue) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw error(key, "must be true or false");
        }
        return value.asBoolean();
    }

    /** Returns a number from {@code min} to {@code max}. A {@code defaultValue} of NaN makes the key mandatory. */
    public double number(String key, double min, double max, double defaultValue) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && !Double.isNaN(defaultValue)) {
            return defaultValue;
        }
        return requireInRange(key, value, min, max);
    }

    private double requireInRange(String key, JsonNode value, double min, double max) throws InputException {
        double number = value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(number >= min && number <= max)) {
            throw error(
                    key,
                    "is " + (value.isMissingNode() ? "missing" : value) + ": a number from " + withoutTrailingZeros(min)
                            + " to " + withoutTrailingZeros(max) + " is allowed");
        }
        return number;
    }

    private static String withoutTrailingZeros(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    /** Returns a whole number from {@code min} to {@code max}, or the default where the key is absent. */
    public int integer(String key, int min, int max, int defaultValue) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber()) {
            throw error(key, "is " + value + ": a whole number from " + min + " to " + max + " is allowed");
        }
        return (int) requireInRange(key, value, min, max);
    }

    /** Returns a range given as a single number or as an ascending pair {@code [min, max]}. */
    public double[] range(String key, double min, double max, double... defaultValue) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && defaultValue.length > 0) {
            return defaultValue.length == 1 ? new double[] {defaultValue[0], defaultValue[0]} : defaultValue;
        }
        if (value.isArray() && value.size() == 2) {
            double[] pair = {requireInRange(key, value.get(0), min, max), requireInRange(key, value.get(1), min, max)};
            if (pair[0] > pair[1]) {
                throw error(key, "is " + value + ": the first number must not be above the second");
            }
            return pair;
        }
        double single = requireInRange(key, value, min, max);
        return new double[] {single, single};
    }

    /** Returns a list of whole numbers from {@code min} to {@code max}, empty where the key is absent. */
    public List<Integer> integers(String key, int min, int max) throws InputException {
        JsonNode value = value(key);
        List<Integer> numbers = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            throw error(key, "must be a list of whole numbers from " + min + " to " + max);
        }
        for (JsonNode each : value) {
            if (!each.isIntegralNumber()) {
                throw error(key, "holds " + each + ": whole numbers from " + min + " to " + max + " are allowed");
            }
            numbers.add((int) requireInRange(key, each, min, max));
        }
        return numbers;
    }

    /** Returns a list of strings, empty where the key is absent. */
    public List<String> texts(String key) throws InputException {
        JsonNode value = value(key);
        List<String> texts = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            throw error(key, "must be a list of strings");
        }
        for (JsonNode each : value) {
            if (!each.isTextual()) {
                throw error(key, "holds " + each + ": strings are allowed");
            }
            texts.add(each.asText());
        }
        return texts;
    }

    /** Returns a subtable, empty where the key is absent. */
    public StrictTable table(String key) throws InputException {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            throw error(key, "must be a table");
        }
        return new StrictTable(file, path + key + ".", value);
    }

    /** Returns the tables of an array of tables, {@code [[key]]}. */
    public List<StrictTable> tables(String key) throws InputException {
        JsonNode value = value(key);
        List<StrictTable> tables = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            throw error(key, "must be a list of tables, [[" + path + key + "]]");
        }
        for (int i = 0; i < value.size(); i++) {
            if (!value.get(i).isObject()) {
                throw error(key, "must be a list of tables, [[" + path + key + "]]");
            }
            tables.add(new StrictTable(file, path + key + "[" + i + "].", value.get(i)));
        }
        return tables;
    }

    /** Fails if the table contains a key that has not been requested. */
    public void rejectUnknownKeys() throws InputException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!requestedKeys.contains(name)) {
                throw error(name, "is not known here: allowed are " + requestedKeys);
            }
        }
    }
}

package ivybank.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A table of a TOML file that is read strictly: each value is asked for with its type and range, and {@link #rejectUnknownKeys} refuses
 * what nobody has asked for. Every error names the file, the key and what is allowed.
 */
public final class StrictTable {

    private final String file;
    private final String path;
    private final JsonNode node;
    private final Set<String> asked = new TreeSet<>();

    private StrictTable(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /**
     * The whole of a file.
     *
     * @param file what errors call it
     */
    public static StrictTable parse(String file, String text) throws InputException {
        try {
            return new StrictTable(file, "", new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null
                    ? ""
                    : ", line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw new InputException(file + place + ": no TOML: "
                    + e.getOriginalMessage().lines().findFirst().orElse("it can't be read"));
        }
    }

    /** An error at a key of this table. */
    public InputException error(String key, String what) {
        return new InputException(file + ": " + path + key + " " + what);
    }

    private JsonNode value(String key) {
        asked.add(key);
        return node.path(key);
    }

    public boolean has(String key) {
        return !value(key).isMissingNode();
    }

    public String text(String key, String absent) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && absent != null) {
            return absent;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            throw error(key, "must be a text that is not empty");
        }
        return value.asText();
    }

    /** One of the given words. */
    public String choice(String key, List<String> allowed, String absent) throws InputException {
        String word = text(key, absent);
        if (!allowed.contains(word)) {
            throw error(key, "is \"" + word + "\": one of " + allowed + " is allowed");
        }
        return word;
    }

    public boolean flag(String key, boolean absent) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isBoolean()) {
            throw error(key, "must be true or false");
        }
        return value.asBoolean();
    }

    /** A number from {@code least} to {@code most}; NaN as {@code absent} where it must be given. */
    public double number(String key, double least, double most, double absent) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && !Double.isNaN(absent)) {
            return absent;
        }
        return checked(key, value, least, most);
    }

    private double checked(String key, JsonNode value, double least, double most) throws InputException {
        double number = value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(number >= least && number <= most)) {
            throw error(
                    key,
                    "is " + (value.isMissingNode() ? "missing" : value) + ": a number from " + brief(least) + " to "
                            + brief(most) + " is allowed");
        }
        return number;
    }

    private static String brief(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    public int integer(String key, int least, int most, int absent) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isIntegralNumber()) {
            throw error(key, "is " + value + ": a whole number from " + least + " to " + most + " is allowed");
        }
        return (int) checked(key, value, least, most);
    }

    /** A number, or a pair of numbers that grow: [least, most]. */
    public double[] range(String key, double least, double most, double... absent) throws InputException {
        JsonNode value = value(key);
        if (value.isMissingNode() && absent.length > 0) {
            return absent.length == 1 ? new double[] {absent[0], absent[0]} : absent;
        }
        if (value.isArray() && value.size() == 2) {
            double[] pair = {checked(key, value.get(0), least, most), checked(key, value.get(1), least, most)};
            if (pair[0] > pair[1]) {
                throw error(key, "is " + value + ": the first number must not be above the second");
            }
            return pair;
        }
        double single = checked(key, value, least, most);
        return new double[] {single, single};
    }

    public List<Integer> integers(String key, int least, int most) throws InputException {
        JsonNode value = value(key);
        List<Integer> numbers = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            throw error(key, "must be a list of whole numbers from " + least + " to " + most);
        }
        for (JsonNode each : value) {
            if (!each.isIntegralNumber()) {
                throw error(key, "holds " + each + ": whole numbers from " + least + " to " + most + " are allowed");
            }
            numbers.add((int) checked(key, each, least, most));
        }
        return numbers;
    }

    /** A list of texts; empty if there is none. */
    public List<String> texts(String key) throws InputException {
        JsonNode value = value(key);
        List<String> texts = new ArrayList<>();
        if (!value.isMissingNode() && !value.isArray()) {
            throw error(key, "must be a list of texts");
        }
        for (JsonNode each : value) {
            if (!each.isTextual()) {
                throw error(key, "holds " + each + ": texts are allowed");
            }
            texts.add(each.asText());
        }
        return texts;
    }

    /** The table of this name; an empty one if there is none. */
    public StrictTable table(String key) throws InputException {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            throw error(key, "must be a table");
        }
        return new StrictTable(file, path + key + ".", value);
    }

    /** The tables of a list, [[key]]. */
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

    /** Ends the reading of this table: a key that has not been asked for is an error. */
    public void rejectUnknownKeys() throws InputException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!asked.contains(name)) {
                throw error(name, "is not known here: allowed are " + asked);
            }
        }
    }
}

package ivybank.upstream;

import java.util.Arrays;
import java.util.List;

/** Parses the load reports in responses of nodes: {@code TEXT name=value, name=value}. */
public final class LoadReport {

    private static final double[] NONE = {};
    private static final String PREFIX = "TEXT ";

    private final List<String> fields;

    public LoadReport(List<String> fields) {
        this.fields = fields;
    }

    /**
     * Returns the values in the order of the configured fields; empty unless there is exactly one report that states each field
     * once, as a finite number that is not negative.
     */
    double[] read(List<String> headers) {
        if (headers.size() != 1 || !headers.get(0).startsWith(PREFIX)) {
            return NONE;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        int found = 0;
        for (String part : headers.get(0).substring(PREFIX.length()).split(",")) {
            int equals = part.indexOf('=');
            int field =
                    equals < 0 ? -1 : fields.indexOf(part.substring(0, equals).trim());
            if (field >= 0) {
                double value = number(part.substring(equals + 1).trim());
                if (!(value >= 0) || Double.isInfinite(value) || !Double.isNaN(values[field])) {
                    return NONE;
                }
                values[field] = value;
                found++;
            }
        }
        return found == values.length ? values : NONE;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}

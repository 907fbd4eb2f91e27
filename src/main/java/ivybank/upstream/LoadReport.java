package ivybank.upstream;

import java.util.Arrays;
import java.util.List;

/** Reads the load reports in upstreams' answers: {@code TEXT name=value, name=value}. */
public final class LoadReport {

    private static final double[] NONE = {};
    private static final String FORM = "TEXT ";

    private final List<String> fields;

    public LoadReport(List<String> fields) {
        this.fields = fields;
    }

    /**
     * The values in the order of the settings' fields; empty unless there is one report that states each of them once,
     * as a number that a load can be.
     */
    double[] read(List<String> headers) {
        if (headers.size() != 1 || !headers.get(0).startsWith(FORM)) {
            return NONE;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        int found = 0;
        for (String part : headers.get(0).substring(FORM.length()).split(",")) {
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

package forkramp.sidecar;

import java.util.List;

/** Reads the load reports in upstreams' answers: {@code TEXT name=value, name=value}. */
final class LoadReport {

    private static final double[] NONE = {};
    private static final String FORM = "TEXT ";

    private final List<String> fields;

    LoadReport(List<String> fields) {
        this.fields = fields;
    }

    /** The values in the order of the settings' fields; empty where one of them is missing or is no number. */
    double[] read(String header) {
        if (header == null || !header.startsWith(FORM)) {
            return NONE;
        }
        double[] values = new double[fields.size()];
        int found = 0;
        for (String part : header.substring(FORM.length()).split(",")) {
            int equals = part.indexOf('=');
            int field = equals < 0 ? -1 : fields.indexOf(part.substring(0, equals).trim());
            if (field >= 0) {
                try {
                    values[field] = Double.parseDouble(part.substring(equals + 1).trim());
                    found++;
                } catch (NumberFormatException e) {
                    return NONE;
                }
            }
        }
        return found == values.length ? values : NONE;
    }
}

package ivybank.settings;

import ivybank.policy.Balancer.Contract;
import ivybank.policy.Balancer.Effect;
import ivybank.policy.Balancer.Goal;
import ivybank.policy.Balancer.Group;
import ivybank.policy.Balancer.Limits;
import ivybank.policy.Balancer.RequestClass;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Parses settings given as lines of path=value. A missing value gets the safest default: one attempt, nothing optional allowed,
 * unsafe to repeat. There is no default for the deadline of a request class; without one, parsing fails.
 */
public final class SettingsParser {

    private static final double DEFAULT_COLD_FROM = 0.1;
    private static final double DEFAULT_COLD_MS = 30_000;
    private static final double DEFAULT_ASK_EVERY_MS = 10_000;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String lines) {
        lines.lines().forEach(line -> {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        });
    }

    public static Settings parse(String lines) {
        return new SettingsParser(lines).settings();
    }

    private Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            classes.add(requestClass("lanes." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("tenants.count"); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(
                    text(path + "name", "tenant-" + i), number(path + "portion", 0), number(path + "quotaPerS", 0)));
        }
        String fields = "off".equals(text("report.via", "off")) ? "" : text("report.fields", "");
        Limits limits = new Limits(
                integer("limits.maxAttempts", 1, 1),
                flag("limits.secondCopies"),
                flag("limits.cancel"),
                flag("limits.probing"),
                flag("limits.retryAfter") ? number("limits.maxRetryAfterMs", 0) : 0);
        Contract contract = new Contract(
                number("contract.coldFrom", DEFAULT_COLD_FROM),
                number("contract.coldMs", DEFAULT_COLD_MS),
                number("contract.overloadFactor", 1),
                number("contract.fallMs", 0),
                number("contract.askEveryMs", DEFAULT_ASK_EVERY_MS));
        Goal goal = new Goal(
                number("scoringMix.whole", 1),
                number("scoringMix.worstClass", 0),
                number("scoringMix.worstTenant", 0),
                number("charges.probe", 0));
        return new Settings(
                classes,
                tenants,
                integer("instances", 1, 1),
                choice("membershipMode", "push", Map.of("ask", true, "push", false)),
                flag("clients.marksRetry"),
                number("tickMs", 0),
                number("overShareWorth", 1),
                fields.isEmpty() ? List.of() : List.of(fields.split(",")),
                limits,
                contract,
                goal);
    }

    private RequestClass requestClass(String path) {
        if (!values.containsKey(path + "hardLimitMs")) {
            throw new IllegalArgumentException("setting " + path + "hardLimitMs is missing");
        }
        double deadlineMs = number(path + "hardLimitMs", 0);
        Effect effect = choice(
                path + "idempotency",
                "fragile",
                Map.of("retryable", Effect.SAFE, "dedup", Effect.KEYED, "fragile", Effect.UNSAFE));
        Group group = choice(path + "group", "cell", Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL));
        return new RequestClass(
                text(path + "name", "class"),
                number(path + "aimMs", deadlineMs),
                deadlineMs,
                number(path + "worth", 1),
                number(path + "lateWorth", 0),
                effect,
                group,
                number(path + "windowMs", 0),
                flag(path + "streaming"));
    }

    private int count(String path) {
        return integer(path, 0, 0);
    }

    private int integer(String path, int defaultValue, int min) {
        double number = number(path, defaultValue);
        if (number != Math.rint(number) || number < min || number > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("setting " + path + " is " + values.get(path) + ": a whole number of "
                    + min + " or more is allowed");
        }
        return (int) number;
    }

    private boolean flag(String path) {
        return choice(path, "false", Map.of("true", true, "false", false));
    }

    /** Returns the meaning of a value; fails for one that is not known. */
    private <T> T choice(String path, String defaultValue, Map<String, T> meanings) {
        String value = text(path, defaultValue);
        T meaning = meanings.get(value);
        if (meaning == null) {
            throw new IllegalArgumentException("setting " + path + " is " + value + ": allowed are "
                    + String.join(", ", new TreeSet<>(meanings.keySet())));
        }
        return meaning;
    }

    private String text(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    private double number(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number < Double.POSITIVE_INFINITY) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + path + " is not a number: " + value, e);
        }
        throw new IllegalArgumentException("setting " + path + " is " + value + ": a number of 0 or more is allowed");
    }
}

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
 * Reads the path=value lines of the first message. What is missing gets the value that keeps the rules (one attempt,
 * nothing optional allowed, harmful to repeat); a class without its deadline has none, and is refused.
 */
public final class SettingsParser {

    private static final double COLD_FROM_UNKNOWN = 0.1;
    private static final double COLD_MS_UNKNOWN = 30_000;
    private static final double ASK_EVERY_MS_UNKNOWN = 10_000;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        text.lines().forEach(line -> {
            int split = line.indexOf('=');
            if (split > 0) {
                values.put(
                        line.substring(0, split).trim(),
                        line.substring(split + 1).trim());
            }
        });
    }

    public static Settings parse(String text) {
        return new SettingsParser(text).settings();
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
                    word(path + "name", "tenant-" + i), number(path + "portion", 0), number(path + "quotaPerS", 0)));
        }
        String fields = "off".equals(word("report.via", "off")) ? "" : word("report.fields", "");
        Limits limits = new Limits(
                whole("limits.maxAttempts", 1, 1),
                flag("limits.secondCopies"),
                flag("limits.cancel"),
                flag("limits.probing"),
                flag("limits.retryAfter") ? number("limits.maxRetryAfterMs", 0) : 0);
        Contract contract = new Contract(
                number("contract.coldFrom", COLD_FROM_UNKNOWN),
                number("contract.coldMs", COLD_MS_UNKNOWN),
                number("contract.overloadFactor", 1),
                number("contract.fallMs", 0),
                number("contract.askEveryMs", ASK_EVERY_MS_UNKNOWN));
        Goal goal = new Goal(
                number("scoringMix.whole", 1),
                number("scoringMix.worstClass", 0),
                number("scoringMix.worstTenant", 0),
                number("charges.probe", 0));
        return new Settings(
                classes,
                tenants,
                whole("instances", 1, 1),
                oneOf("membershipMode", "push", Map.of("ask", true, "push", false)),
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
        Effect effect = oneOf(
                path + "idempotency",
                "fragile",
                Map.of("retryable", Effect.SAFE, "dedup", Effect.KEYED, "fragile", Effect.UNSAFE));
        Group group = oneOf(path + "group", "cell", Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL));
        return new RequestClass(
                word(path + "name", "class"),
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
        return whole(path, 0, 0);
    }

    private int whole(String path, int otherwise, int least) {
        double number = number(path, otherwise);
        if (number != Math.rint(number) || number < least || number > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("setting " + path + " is " + values.get(path) + ": a whole number of "
                    + least + " or more is allowed");
        }
        return (int) number;
    }

    private boolean flag(String path) {
        return oneOf(path, "false", Map.of("true", true, "false", false));
    }

    /** What a word stands for; one that is not known is no leave to guess. */
    private <T> T oneOf(String path, String otherwise, Map<String, T> meanings) {
        String word = word(path, otherwise);
        T meaning = meanings.get(word);
        if (meaning == null) {
            throw new IllegalArgumentException("setting " + path + " is " + word + ": allowed are "
                    + String.join(", ", new TreeSet<>(meanings.keySet())));
        }
        return meaning;
    }

    private String word(String path, String otherwise) {
        return values.getOrDefault(path, otherwise);
    }

    private double number(String path, double otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
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

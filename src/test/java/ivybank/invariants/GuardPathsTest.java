package ivybank.invariants;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaCodeUnit;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The build finds a way to send, repeat, close or start, or a chain of steps, that goes round the guard or the watchdog. */
class GuardPathsTest {

    /** The parts that a serving process is made of. */
    private static final JavaClasses SERVING = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages(
                    "ivybank.client",
                    "ivybank.upstream",
                    "ivybank.daemon",
                    "ivybank.discovery",
                    "ivybank.exchange",
                    "ivybank.control",
                    "ivybank.peers",
                    "ivybank.promises",
                    "ivybank.supervision",
                    "ivybank.transport");

    /** Which methods, as Class.method, call something; lambdas count for the methods that they stand in. */
    private static Set<String> callers(Predicate<JavaCodeUnit> in, String owner, String method) {
        Set<String> callers = new TreeSet<>();
        SERVING.stream()
                .flatMap(type -> type.getCodeUnits().stream())
                .filter(in)
                .forEach(unit -> unit.getCallsFromSelf().stream()
                        .filter(call ->
                                call.getTarget().getOwner().getSimpleName().equals(owner)
                                        && call.getTarget().getName().equals(method))
                        .forEach(call -> callers.add(nameOf(unit))));
        return callers;
    }

    private static String nameOf(JavaCodeUnit unit) {
        String method = unit.getName().replaceAll("^lambda\\$([^$]+)\\$.*", "$1");
        return unit.getOwner().getSimpleName() + "." + method;
    }

    private static boolean inPackage(JavaCodeUnit unit, String part) {
        return unit.getOwner().getPackageName().equals("ivybank." + part);
    }

    @Test
    void anAttemptIsWrittenOnlyBehindTheGuard() {
        assertEquals(
                Set.of("UpstreamConnection.send"), callers(unit -> true, "UpstreamConnection", "write"), "who writes");
        assertEquals(Set.of("UpstreamPool.write"), callers(unit -> true, "UpstreamConnection", "send"));
        assertTrue(callers(unit -> true, "UpstreamAttempt", "mayBeWritten").contains("UpstreamConnection.send"));
        Set<String> requests =
                new TreeSet<>(callers(unit -> inPackage(unit, "upstream"), "DefaultFullHttpRequest", "<init>"));
        requests.addAll(callers(unit -> inPackage(unit, "upstream"), "DefaultHttpRequest", "<init>"));
        assertEquals(Set.of("UpstreamConnection.write"), requests, "who makes a request for a node");
    }

    @Test
    void eachAttemptIsMadeWhereTheGuardIsAskedForIt() {
        assertEquals(Set.of("AttemptSender.send"), callers(unit -> true, "UpstreamAttempt", "<init>"));
        assertEquals(
                Set.of("AttemptSender"),
                callers(unit -> true, "InvariantGuard", "checkSend").stream()
                        .map(caller -> caller.replaceAll("\\..*", ""))
                        .map(type -> type.isEmpty() ? "AttemptSender" : type)
                        .collect(Collectors.toSet()));
    }

    @Test
    void aClientsConnectionIsClosedOnlyBehindTheGuardOrWhenItIsBroken() {
        Set<String> closers = new TreeSet<>();
        for (String owner : Set.of("ChannelHandlerContext", "Channel", "ChannelOutboundInvoker")) {
            closers.addAll(callers(unit -> inPackage(unit, "client"), owner, "close"));
        }
        assertEquals(
                Set.of("ClientAcceptor.close", "ClientConnection.close", "ClientConnection.exceptionCaught"), closers);
        assertEquals(Set.of("ClientConnection.close"), callers(unit -> true, "InvariantGuard", "checkClose"));
    }

    @Test
    void clientsAreServedOnlyBehindTheGuard() {
        assertEquals(Set.of("Sidecar.listen", "Warmup.begin"), callers(unit -> true, "ClientServer", "listen"));
        assertEquals(Set.of("Sidecar.listen"), callers(unit -> true, "InvariantGuard", "checkStart"));
        Set<String> binders = new TreeSet<>(callers(unit -> true, "ServerBootstrap", "bind"));
        binders.addAll(callers(unit -> true, "ServerBootstrap", "register"));
        assertEquals(Set.of("AdminEndpoint.open", "ClientAcceptor.open", "Warmup.begin"), binders);
    }

    @Test
    void connectionsFromHereHaveOneEndAndChainsOneOwner() {
        assertEquals(Set.of("OutboundConnection.open", "Warmup.begin"), callers(unit -> true, "Bootstrap", "connect"));
        ArchRuleDefinition.noClasses()
                .should()
                .callMethodWhere(target(nameMatching("scheduleAtFixedRate|scheduleWithFixedDelay")))
                .because("a periodic task of Java ends for good when one run throws: PeriodicTask does not")
                .check(SERVING);
        ArchRuleDefinition.noClasses()
                .should()
                .callMethodWhere(target(name("currentTimeMillis")).and(target(owner(name("java.lang.System")))))
                .because("spans of time are of the monotonic clock; Clock alone reads the wall clock, once")
                .check(SERVING);
    }
}

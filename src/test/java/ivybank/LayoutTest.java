package ivybank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks the allowed dependencies between packages, as described in docs/design/layout.md. */
class LayoutTest {

    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("ivybank");

    @Test
    void packagesAreUsedOnlyByThePackagesAboveThem() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("ivybank..")
                .layer("main")
                .definedBy("ivybank")
                .layer("cli")
                .definedBy("ivybank.cli..")
                .layer("rehearsal")
                .definedBy("ivybank.rehearsal..")
                .layer("toml")
                .definedBy("ivybank.toml..")
                .layer("operator")
                .definedBy("ivybank.operator..")
                .layer("promises")
                .definedBy("ivybank.promises..")
                .layer("store")
                .definedBy("ivybank.store..")
                .layer("daemon")
                .definedBy("ivybank.daemon..")
                .layer("simhost")
                .definedBy("ivybank.simhost..")
                .layer("client")
                .definedBy("ivybank.client..")
                .layer("upstream")
                .definedBy("ivybank.upstream..")
                .layer("discovery")
                .definedBy("ivybank.discovery..")
                .layer("exchange")
                .definedBy("ivybank.exchange..")
                .layer("control")
                .definedBy("ivybank.control..")
                .layer("operations")
                .definedBy("ivybank.operations..")
                .layer("settings")
                .definedBy("ivybank.settings..")
                .layer("common")
                .definedBy("ivybank.common..")
                .layer("policy")
                .definedBy("ivybank.policy..")
                .layer("slowstart")
                .definedBy("ivybank.slowstart..")
                .layer("subsetting")
                .definedBy("ivybank.subsetting..")
                .layer("concurrency")
                .definedBy("ivybank.concurrency..")
                .layer("queue")
                .definedBy("ivybank.queue..")
                .layer("handover")
                .definedBy("ivybank.handover..")
                .layer("tally")
                .definedBy("ivybank.tally..")
                .layer("emulator")
                .definedBy("ivybank.emulator..")
                .layer("fleet")
                .definedBy("ivybank.fleet..")
                .layer("peers")
                .definedBy("ivybank.peers..")
                .layer("scale")
                .definedBy("ivybank.scale..")
                .layer("supervision")
                .definedBy("ivybank.supervision..")
                .layer("invariants")
                .definedBy("ivybank.invariants..")
                .layer("transport")
                .definedBy("ivybank.transport..")
                .layer("memory")
                .definedBy("ivybank.memory..")
                .whereLayer("memory")
                .mayOnlyBeAccessedByLayers("daemon", "client", "upstream", "exchange")
                .whereLayer("supervision")
                .mayOnlyBeAccessedByLayers("daemon", "client", "upstream", "discovery", "control", "peers", "promises")
                .whereLayer("invariants")
                .mayOnlyBeAccessedByLayers("daemon", "client", "upstream")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("client", "upstream", "discovery")
                .whereLayer("scale")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("tally")
                .mayOnlyBeAccessedByLayers("daemon", "upstream", "discovery", "cli", "scale")
                .whereLayer("fleet")
                .mayOnlyBeAccessedByLayers("emulator", "peers")
                .whereLayer("peers")
                .mayOnlyBeAccessedByLayers("daemon", "operator", "scale")
                .whereLayer("emulator")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("policy")
                .mayOnlyBeAccessedByLayers(
                        "daemon",
                        "simhost",
                        "client",
                        "upstream",
                        "discovery",
                        "exchange",
                        "settings",
                        "promises",
                        "invariants",
                        "emulator",
                        "scale")
                .whereLayer("subsetting")
                .mayOnlyBeAccessedByLayers("policy")
                .whereLayer("concurrency")
                .mayOnlyBeAccessedByLayers("policy")
                .whereLayer("queue")
                .mayOnlyBeAccessedByLayers("policy")
                .whereLayer("handover")
                .mayOnlyBeAccessedByLayers("policy", "concurrency", "daemon", "emulator")
                .whereLayer("slowstart")
                .mayOnlyBeAccessedByLayers("policy")
                .whereLayer("main")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("rehearsal")
                .mayOnlyBeAccessedByLayers("cli", "scale")
                .whereLayer("toml")
                .mayOnlyBeAccessedByLayers("main", "cli", "rehearsal", "operator", "daemon", "scale")
                .whereLayer("operator")
                .mayOnlyBeAccessedByLayers("cli", "daemon")
                .whereLayer("promises")
                .mayOnlyBeAccessedByLayers("daemon", "operator", "cli")
                .whereLayer("store")
                .mayOnlyBeAccessedByLayers("promises", "daemon", "operator", "cli")
                .whereLayer("daemon")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("simhost")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("client")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("discovery")
                .mayOnlyBeAccessedByLayers("daemon", "upstream", "operator", "scale")
                .whereLayer("exchange")
                .mayOnlyBeAccessedByLayers("daemon", "client", "upstream", "promises")
                .whereLayer("control")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("operations")
                .mayOnlyBeAccessedByLayers("daemon", "client", "control")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("daemon", "simhost")
                .check(PROGRAM);
    }

    @Test
    void decisionCodeDoesNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "ivybank.policy..",
                        "ivybank.settings..",
                        "ivybank.operations..",
                        "ivybank.invariants..",
                        "ivybank.slowstart..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "com.fasterxml..")
                .check(PROGRAM);
    }

    @Test
    void stallDetectionDoesNotDependOnTheEventLoop() {
        noClasses()
                .that()
                .haveFullyQualifiedName("ivybank.common.EventLoopStallDetector")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.io..", "java.net..", "java.nio..", "java.util.concurrent..")
                .check(PROGRAM);
    }

    @Test
    void concurrencyLimitsAndHandoverDoNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "ivybank.concurrency..",
                        "ivybank.subsetting..",
                        "ivybank.queue..",
                        "ivybank.handover..",
                        "ivybank.fleet..")
                .and()
                .doNotHaveFullyQualifiedName("ivybank.handover.HandoverSnapshotFiles")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.io..",
                        "java.net..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "ivybank.policy..",
                        "ivybank.daemon..")
                .check(PROGRAM);
    }

    @Test
    void rehearsalModelsDoNoIoAndDoNotDependOnTheSidecar() {
        noClasses()
                .that()
                .resideInAnyPackage("ivybank.rehearsal.referee..", "ivybank.rehearsal.scenario..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.io..", "java.net..", "java.nio..")
                .check(PROGRAM);
        noClasses()
                .that()
                .resideInAPackage("ivybank.rehearsal..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "ivybank.policy..",
                        "ivybank.daemon..",
                        "ivybank.client..",
                        "ivybank.upstream..",
                        "ivybank.discovery..",
                        "ivybank.exchange..")
                .check(PROGRAM);
    }

    @Test
    void overheadStatisticsUseNoSocketsAndNoClock() {
        noClasses()
                .that()
                .resideInAPackage("ivybank.rehearsal.latency..")
                .and()
                .haveNameMatching(
                        ".*\\.(ArrivalSchedule|Distribution|Observations|Overhead(Run|Cell)|RunSummary|VoidRule"
                                + "|WarmUpRule|Disturbance|NodeFaults|ResponseReader|RequestTemplate)")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.io..", "java.net..", "java.nio.channels..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(PROGRAM);
    }

    @Test
    void theStoreDoesNotDependOnRequestsAndPromisesDoNoIo() {
        noClasses()
                .that()
                .resideInAPackage("ivybank.store..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("ivybank.exchange..", "ivybank.policy..", "ivybank.promises..", "io.netty..")
                .check(PROGRAM);
        noClasses()
                .that()
                .haveFullyQualifiedName("ivybank.promises.PromiseTable")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..", "java.nio..", "java.util.concurrent..", "io.netty..", "ivybank.store..")
                .check(PROGRAM);
    }

    @Test
    void decisionCodeReadsNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "ivybank.policy..",
                        "ivybank.operations..",
                        "ivybank.slowstart..",
                        "ivybank.concurrency..",
                        "ivybank.subsetting..",
                        "ivybank.queue..",
                        "ivybank.handover..",
                        "ivybank.tally..",
                        "ivybank.emulator..",
                        "ivybank.fleet..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(PROGRAM);
    }

    @Test
    void scaleConclusionsUseNoProcessesAndNoSockets() {
        noClasses()
                .that()
                .haveFullyQualifiedName("ivybank.scale.result.MachineLimit")
                .or()
                .haveFullyQualifiedName("ivybank.scale.result.Slope")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.io..", "java.net..", "java.nio..", "ivybank.scale.process..")
                .check(PROGRAM);
    }
}

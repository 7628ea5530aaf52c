package spurroad.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/**
 * Checks the layering, that decision code has no I/O, clock or threads, and that the proxy needs no library.
 */
public class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
        .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("spurroad");
    private static final String[] DECISIONS = {"spurroad.balancer..", "spurroad.model", "spurroad.admission"};
    private static final String[] PROXY = {"spurroad.transport..", "spurroad.protocol..",
        "spurroad.routing..",
        "spurroad.admin..", "spurroad.configuration..", "spurroad.program..", "spurroad.simulator.."};

    @Test
    public void decisionsUseNoInputOutputClockOrThread() {
        classes().that().resideInAnyPackage(DECISIONS).should().onlyDependOnClassesThat()
            .resideInAnyPackage("spurroad.balancer..", "spurroad.model", "spurroad.admission", "java.lang",
                "java.lang.runtime",
                "java.lang.invoke", "java.util", "java.util.function", "java.util.stream")
            .check(CLASSES);
        noClasses().that().resideInAnyPackage(DECISIONS).should().callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis")
            .orShould().accessClassesThat().areAssignableTo(Thread.class)
            .orShould().accessClassesThat().haveNameMatching("java\\.lang\\.(Process|ProcessBuilder|Runtime)")
            .check(CLASSES);
    }

    @Test
    public void controlDecisionsUseNoInputOutputClockOrThread() {
        classes().that().resideInAPackage("spurroad.control.decide").should().onlyDependOnClassesThat()
            .resideInAnyPackage("spurroad.control.decide", "java.lang", "java.lang.runtime",
                "java.lang.invoke",
                "java.util", "java.util.function", "java.util.stream", "java.security", "java.nio.charset")
            .check(CLASSES);
        noClasses().that().resideInAPackage("spurroad.control.decide").should()
            .callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }

    @Test
    public void distributionUsesNoInputOutputClockOrThread() {
        classes().that().resideInAPackage("spurroad.control.distribution..").should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("spurroad.control.distribution..", "java.lang", "java.lang.runtime",
                "java.lang.invoke",
                "java.util", "java.util.function", "java.util.stream", "java.util.zip", "java.nio",
                "java.nio.charset")
            .check(CLASSES);
        noClasses().that().resideInAPackage("spurroad.control.distribution..").should()
            .callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
            .check(CLASSES);
    }

    @Test
    public void testbedModelsUseNoInputOutputClockOrThread() {
        noClasses().that()
            .resideInAnyPackage("spurroad.testbed.model", "spurroad.testbed.checker", "spurroad.testbed.time",
                "spurroad.testbed.simulation", "spurroad.testbed.policy")
            .should().dependOnClassesThat()
            .resideInAnyPackage("java.io", "java.net", "java.nio..", "io.netty..").orShould()
            .callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
            .orShould().accessClassesThat().areAssignableTo(Thread.class).check(CLASSES);
    }

    @Test
    public void proxyLayersDependInOneDirection() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("decisions").definedBy(DECISIONS)
            .layer("transport").definedBy("spurroad.transport..")
            .layer("protocol").definedBy("spurroad.protocol..")
            .layer("configuration").definedBy("spurroad.configuration..")
            .layer("routing").definedBy("spurroad.routing..")
            .layer("admin").definedBy("spurroad.admin..")
            .layer("ends").definedBy("spurroad.program..", "spurroad.simulator..")
            .layer("product").definedBy("spurroad.toml..", "spurroad.testbed..", "spurroad.cli..")
            .whereLayer("product").mayNotBeAccessedByAnyLayer()
            .whereLayer("ends").mayOnlyBeAccessedByLayers("product")
            .whereLayer("routing").mayOnlyBeAccessedByLayers("ends", "product")
            .whereLayer("admin").mayOnlyBeAccessedByLayers("ends", "product")
            .whereLayer("configuration").mayOnlyBeAccessedByLayers("routing", "ends", "product")
            .whereLayer("protocol")
            .mayOnlyBeAccessedByLayers("configuration", "routing", "admin", "ends", "product")
            .whereLayer("transport")
            .mayOnlyBeAccessedByLayers("protocol", "configuration", "routing", "admin", "ends",
                "product")
            .check(CLASSES);
    }

    @Test
    public void proxyUsesNoThirdPartyLibrary() {
        classes().that().resideInAnyPackage(PROXY).should().onlyDependOnClassesThat()
            .resideInAnyPackage("spurroad.balancer..", "spurroad.model..", "spurroad.admission..",
                "spurroad.transport..",
                "spurroad.protocol..", "spurroad.routing..", "spurroad.admin..", "spurroad.configuration..",
                "spurroad.program..",
                "spurroad.simulator..", "java..", "sun.misc")
            .check(CLASSES);
    }

    /** A checker that used the proxy's parsers could not detect errors in them. */
    @Test
    public void ruleCheckerDoesNotDependOnProxy() {
        noClasses().that().resideInAnyPackage("spurroad.testbed.checker", "spurroad.testbed.net").should()
            .dependOnClassesThat()
            .resideInAnyPackage(PROXY).orShould().dependOnClassesThat()
            .haveFullyQualifiedName("spurroad.balancer.LoadBalancer")
            .check(CLASSES);
    }

    /** Each layer of the distribution is used only by the layers listed after it. */
    @Test
    public void distributionLayersDependInOneDirection() {
        String root = "spurroad.control.distribution";
        layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("shared").definedBy(root)
            .layer("state").definedBy(root + ".state")
            .layer("log").definedBy(root + ".log")
            .layer("message").definedBy(root + ".message")
            .layer("codec").definedBy(root + ".codec")
            .layer("parts").definedBy(root + ".replication", root + ".publish", root + ".subscribe",
                root + ".lease")
            .layer("processes").definedBy(root + ".relay", root + ".core")
            .whereLayer("processes").mayNotBeAccessedByAnyLayer()
            .whereLayer("parts").mayOnlyBeAccessedByLayers("processes")
            .whereLayer("codec").mayNotBeAccessedByAnyLayer()
            .whereLayer("message").mayOnlyBeAccessedByLayers("codec", "parts", "processes")
            .whereLayer("log").mayOnlyBeAccessedByLayers("message", "codec", "parts", "processes")
            .check(CLASSES);
    }

    @Test
    public void tomlReaderDependsOnNoOtherModule() {
        classes().that().resideInAPackage("spurroad.toml..").should().onlyDependOnClassesThat()
            .resideInAnyPackage("spurroad.toml..", "java..", "com.fasterxml.jackson..").check(CLASSES);
    }

    /** Scenarios are data: the code that runs them depends on them, not the reverse. */
    @Test
    public void scenariosAndTimelinesDoNotDependOnTheirRunners() {
        noClasses().that().resideInAnyPackage("spurroad.testbed.scenario", "spurroad.testbed.time").should()
            .dependOnClassesThat().resideInAnyPackage("spurroad.testbed.environment",
                "spurroad.testbed.experiment", "spurroad.testbed.simulation", "spurroad.testbed.model",
                "spurroad.testbed.checker", "spurroad.testbed.net", "spurroad.testbed.policy")
            .check(CLASSES);
    }

    @Test
    public void packagesHaveNoCycles() {
        slices().matching("spurroad.(testbed.*)").should().beFreeOfCycles().check(CLASSES);
        slices().matching("spurroad.(*)").should().beFreeOfCycles().check(CLASSES);
        slices().matching("spurroad.balancer.(*)..").should().beFreeOfCycles().check(CLASSES);
        slices().matching("spurroad.control.(*)..").should().beFreeOfCycles().check(CLASSES);
        slices().matching("spurroad.control.distribution.(*)..").should().beFreeOfCycles().check(CLASSES);
    }
}

package org.cranberrybend.integration.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.util.concurrent.ExecutorService;
import org.cranberrybend.core.time.TimeSource;

@AnalyzeClasses(packages = "org.cranberrybend", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    // Production code must not depend on the stand-ins; otherwise it could work only with them.
    @ArchTest
    static final ArchRule PRODUCTION_DOES_NOT_USE_STAND_INS = noClasses()
            .that()
            .resideOutsideOfPackages(
                    "org.cranberrybend.standins..", "org.cranberrybend.experiment..", "org.cranberrybend.integration..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.cranberrybend.standins..", "org.cranberrybend.experiment..");

    // Decisions must depend on their inputs only, so that they can be replayed.
    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_INPUT_AND_OUTPUT = noClasses()
            .that()
            .resideInAPackage("org.cranberrybend.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.io..",
                    "java.net..",
                    "java.nio.file..",
                    "java.nio.channels..",
                    "io.netty..",
                    "org.apache.hc..",
                    "org.cranberrybend.runtime..",
                    "org.cranberrybend.wire..");

    // Decisions must not depend on thread scheduling or on the system clock.
    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_THREADS_AND_NO_WALL_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.cranberrybend.core..")
            .and()
            .doNotImplement(TimeSource.class)
            .should()
            .dependOnClassesThat()
            .belongToAnyOf(Thread.class, ExecutorService.class, Clock.class)
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime");

    // Static mutable state would couple tests and experiments that run in one process.
    @ArchTest
    static final ArchRule NO_STATIC_MUTABLE_FIELDS = fields().that()
            .areStatic()
            .and()
            .areDeclaredInClassesThat()
            .resideOutsideOfPackage("org.cranberrybend.wire.generated..")
            .should()
            .beFinal();

    // Only the integration tests may start other processes.
    @ArchTest
    static final ArchRule NO_PROCESS_STARTS_ANOTHER = noClasses()
            .that()
            .resideOutsideOfPackages("org.cranberrybend.integration..")
            .should()
            .dependOnClassesThat()
            .areAssignableTo(ProcessBuilder.class);

    // Main classes only parse options and wire components together; they are not meant to be extended.
    @ArchTest
    static final ArchRule MAIN_CLASSES_ARE_FINAL =
            classes().that().haveSimpleNameEndingWith("Main").should().haveModifier(JavaModifier.FINAL);
}

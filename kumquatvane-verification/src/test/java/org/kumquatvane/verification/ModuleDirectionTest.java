package org.kumquatvane.verification;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that modules depend only on the modules that design chapter 3 allows. */
class ModuleDirectionTest {
  /** Modules in the order of the design's table; a module may depend on earlier ones only. */
  private static final List<String> MODULE_ORDER =
      List.of(
          "core",
          "document",
          "keys",
          "routing",
          "membership",
          "distribution",
          "limits",
          "operations",
          "admission",
          "ejection",
          "selection",
          "retries",
          "engine",
          "json",
          "documents",
          "settings",
          "telemetry",
          "peering",
          "http",
          "platform",
          "admin",
          "server",
          "cli");

  private static final List<String> DECISION_MODULES =
      MODULE_ORDER.subList(0, MODULE_ORDER.indexOf("engine") + 1);

  /** Modules outside the product: test support and developer tools. */
  private static final Set<String> DEVELOPMENT_MODULES =
      Set.of("standins", "testing", "bench", "verification");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.kumquatvane");

  static Stream<String> modules() {
    return MODULE_ORDER.stream();
  }

  static Stream<String> decisionModules() {
    return DECISION_MODULES.stream();
  }

  @Test
  void everyModuleIsListed() {
    Set<String> found =
        CLASSES.stream()
            .map(type -> type.getPackageName().split("\\.")[2])
            .filter(module -> !DEVELOPMENT_MODULES.contains(module))
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(new TreeSet<>(MODULE_ORDER), found);
  }

  @ParameterizedTest
  @MethodSource("modules")
  void dependsOnEarlierModulesOnly(String module) {
    String[] later =
        Stream.concat(
                MODULE_ORDER
                    .subList(MODULE_ORDER.indexOf(module) + 1, MODULE_ORDER.size())
                    .stream(),
                DEVELOPMENT_MODULES.stream())
            .map(ModuleDirectionTest::packagePattern)
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(packagePattern(module))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(later)
        .check(CLASSES);
  }

  @ParameterizedTest
  @MethodSource("modules")
  void internalPackagesAreUsedByTheirModuleOnly(String module) {
    noClasses()
        .that(not(resideInAPackage(packagePattern(module))))
        .should()
        .dependOnClassesThat(resideInAPackage("org.kumquatvane." + module + ".internal.."))
        .check(CLASSES);
  }

  @ParameterizedTest
  @MethodSource("decisionModules")
  void decisionModulesDoNotDependOnEncodings(String module) {
    noClasses()
        .that()
        .resideInAPackage(packagePattern(module))
        .should()
        .dependOnClassesThat(
            resideInAnyPackage(
                "io.servicetalk..", "io.netty..", "org.msgpack..", "com.fasterxml.."))
        .check(CLASSES);
  }

  @Test
  void standInsDoNotDependOnProduct() {
    classes()
        .that()
        .resideInAPackage(packagePattern("standins"))
        .should()
        .onlyDependOnClassesThat(
            resideInAPackage(packagePattern("standins"))
                .or(not(resideInAPackage("org.kumquatvane.."))))
        .check(CLASSES);
  }

  private static String packagePattern(String module) {
    return "org.kumquatvane." + module + "..";
  }
}

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

/** Guards against dependencies that design chapter 3 excludes. */
class ModuleDirectionTest {
  /** Modules in the order of the design's table; a module may depend on earlier ones only. */
  private static final List<String> ORDER =
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
      ORDER.subList(0, ORDER.indexOf("engine") + 1);

  /** Modules beside the product: tests and commands of the developers. */
  private static final Set<String> OUTSIDE = Set.of("standins", "testing", "bench", "verification");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.kumquatvane");

  static Stream<String> modules() {
    return ORDER.stream();
  }

  static Stream<String> decisionModules() {
    return DECISION_MODULES.stream();
  }

  @Test
  void everyModuleIsInTheOrder() {
    Set<String> found =
        CLASSES.stream()
            .map(type -> type.getPackageName().split("\\.")[2])
            .filter(module -> !OUTSIDE.contains(module))
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(new TreeSet<>(ORDER), found);
  }

  @ParameterizedTest
  @MethodSource("modules")
  void dependsOnEarlierModulesOnly(String module) {
    String[] later =
        Stream.concat(
                ORDER.subList(ORDER.indexOf(module) + 1, ORDER.size()).stream(), OUTSIDE.stream())
            .map(ModuleDirectionTest::packagesOf)
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(packagesOf(module))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(later)
        .check(CLASSES);
  }

  @ParameterizedTest
  @MethodSource("modules")
  void internalPackagesAreUsedByTheirModuleOnly(String module) {
    noClasses()
        .that(not(resideInAPackage(packagesOf(module))))
        .should()
        .dependOnClassesThat(resideInAPackage("org.kumquatvane." + module + ".internal.."))
        .check(CLASSES);
  }

  @ParameterizedTest
  @MethodSource("decisionModules")
  void decisionsAreFreeOfEncodings(String module) {
    noClasses()
        .that()
        .resideInAPackage(packagesOf(module))
        .should()
        .dependOnClassesThat(
            resideInAnyPackage(
                "io.servicetalk..", "io.netty..", "org.msgpack..", "com.fasterxml.."))
        .check(CLASSES);
  }

  @Test
  void standInsKnowNothingOfTheProduct() {
    classes()
        .that()
        .resideInAPackage(packagesOf("standins"))
        .should()
        .onlyDependOnClassesThat(
            resideInAPackage(packagesOf("standins")).or(not(resideInAPackage("org.kumquatvane.."))))
        .check(CLASSES);
  }

  private static String packagesOf(String module) {
    return "org.kumquatvane." + module + "..";
  }
}

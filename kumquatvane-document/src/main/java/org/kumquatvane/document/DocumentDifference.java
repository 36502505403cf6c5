package org.kumquatvane.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kumquatvane.core.EnumNames;
import org.kumquatvane.core.KeyDigest;

/**
 * Differences between two documents.
 *
 * @param generationBefore generation of the earlier document
 * @param generationAfter generation of the later document
 * @param changes parts that differ: fleet, workspaces, services, routes, each in document order
 * @param withdrawnKeys digests that the earlier document grants and the later one does not
 */
public record DocumentDifference(
    long generationBefore,
    long generationAfter,
    List<PartChange> changes,
    List<KeyDigest> withdrawnKeys) {
  /** Copies the lists. */
  public DocumentDifference {
    changes = List.copyOf(changes);
    withdrawnKeys = List.copyOf(withdrawnKeys);
  }

  /**
   * Compares two documents.
   *
   * @param before the earlier document
   * @param after the later document
   * @return the difference
   */
  public static DocumentDifference between(Document before, Document after) {
    List<PartChange> changes = new ArrayList<>();
    compare(
        PartChange.Part.FLEET,
        List.of(before.fleet()),
        List.of(after.fleet()),
        fleet -> "fleet",
        DocumentDifference::fields,
        changes);
    compare(
        PartChange.Part.WORKSPACE,
        before.workspaces(),
        after.workspaces(),
        workspace -> workspace.id().value(),
        DocumentDifference::fields,
        changes);
    compare(
        PartChange.Part.SERVICE,
        before.services(),
        after.services(),
        service -> service.name().value(),
        DocumentDifference::fields,
        changes);
    compare(
        PartChange.Part.ROUTE,
        before.routes(),
        after.routes(),
        route -> route.id().value(),
        DocumentDifference::fields,
        changes);
    Set<KeyDigest> granted = new HashSet<>();
    after.workspaces().forEach(workspace -> granted.addAll(workspace.keyDigests()));
    List<KeyDigest> withdrawn =
        before.workspaces().stream()
            .flatMap(workspace -> workspace.keyDigests().stream())
            .filter(digest -> !granted.contains(digest))
            .toList();
    return new DocumentDifference(before.generation(), after.generation(), changes, withdrawn);
  }

  private static <T> void compare(
      PartChange.Part part,
      List<T> before,
      List<T> after,
      Function<T, String> name,
      Function<T, Map<String, String>> fields,
      List<PartChange> changes) {
    Map<String, T> earlier = byName(before, name);
    Map<String, T> later = byName(after, name);
    earlier.forEach(
        (key, value) -> {
          if (!later.containsKey(key)) {
            changes.add(new PartChange(PartChange.Kind.REMOVED, part, key, List.of()));
          }
        });
    later.forEach(
        (key, value) -> {
          T previous = earlier.get(key);
          if (previous == null) {
            List<FieldChange> all = differences(Map.of(), fields.apply(value));
            changes.add(new PartChange(PartChange.Kind.ADDED, part, key, all));
          } else if (!previous.equals(value)) {
            List<FieldChange> some = differences(fields.apply(previous), fields.apply(value));
            if (!some.isEmpty()) {
              changes.add(new PartChange(PartChange.Kind.CHANGED, part, key, some));
            }
          }
        });
  }

  private static <T> Map<String, T> byName(List<T> parts, Function<T, String> name) {
    Map<String, T> result = new LinkedHashMap<>();
    parts.forEach(part -> result.put(name.apply(part), part));
    return result;
  }

  private static List<FieldChange> differences(
      Map<String, String> before, Map<String, String> after) {
    List<FieldChange> result = new ArrayList<>();
    after.forEach(
        (field, value) -> {
          String previous = before.getOrDefault(field, FieldChange.NONE);
          if (!previous.equals(value)) {
            result.add(new FieldChange(field, previous, value));
          }
        });
    return result;
  }

  private static Map<String, String> fields(FleetPolicy fleet) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("maximumVmCount", String.valueOf(fleet.maximumVmCount()));
    fields.put("limitMechanism", EnumNames.lowerCamelCase(fleet.limitMechanism()));
    return fields;
  }

  private static Map<String, String> fields(Workspace workspace) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("keySha256", sorted(workspace.keyDigests()));
    fields.put("ratePerSecond", String.valueOf(workspace.rate().requestsPerSecond()));
    fields.put("burstRequests", String.valueOf(workspace.rate().burstRequests()));
    return fields;
  }

  private static Map<String, String> fields(Service service) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("slotsPerInstance", String.valueOf(service.capacity().slots()));
    fields.put(
        "maximumConnectionsPerInstance", String.valueOf(service.capacity().maximumConnections()));
    fields.put("warmUpMillis", String.valueOf(service.capacity().warmUp().toMillis()));
    fields.put("selection", EnumNames.lowerCamelCase(service.selection()));
    fields.put("queue.maximumWaiting", String.valueOf(service.queue().maximumWaiting()));
    fields.put(
        "queue.maximumWaitingPerWorkspace",
        String.valueOf(service.queue().maximumWaitingPerWorkspace()));
    EjectionSettings ejection = service.ejection();
    fields.put("ejection.profile", EnumNames.lowerCamelCase(ejection.profile()));
    fields.put("ejection.healthyFloorPercent", String.valueOf(ejection.healthyFloorPercent()));
    fields.put("ejection.baseEjectionMillis", String.valueOf(ejection.baseEjection().toMillis()));
    fields.put(
        "ejection.maximumEjectionMillis", String.valueOf(ejection.maximumEjection().toMillis()));
    RetrySettings retry = service.retry();
    fields.put("retry.mode", EnumNames.lowerCamelCase(retry.mode()));
    fields.put("retry.maximumAttempts", String.valueOf(retry.maximumAttempts()));
    fields.put("retry.budgetPercent", String.valueOf(retry.budgetPercent()));
    fields.put("retry.baseBackoffMillis", String.valueOf(retry.baseBackoff().toMillis()));
    return fields;
  }

  private static Map<String, String> fields(Route route) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("service", route.service().value());
    fields.put("methods", sorted(route.methods()));
    fields.put("path", route.path());
    fields.put("idempotent", String.valueOf(route.idempotent()));
    fields.put("idempotencyKey", EnumNames.lowerCamelCase(route.idempotencyKey()));
    fields.put("open", String.valueOf(route.open()));
    fields.put("workspaces", sorted(route.workspaces()));
    fields.put("timeoutMillis", String.valueOf(route.timeout().toMillis()));
    fields.put("maximumBodyBytes", String.valueOf(route.maximumBodyBytes()));
    return fields;
  }

  /** Sorts the values, so that their order in the document makes no difference. */
  private static String sorted(Iterable<?> values) {
    Set<String> texts = new TreeSet<>();
    values.forEach(value -> texts.add(value.toString()));
    return texts.isEmpty() ? FieldChange.NONE : texts.stream().collect(Collectors.joining(" "));
  }
}

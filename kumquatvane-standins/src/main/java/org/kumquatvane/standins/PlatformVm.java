package org.kumquatvane.standins;

import org.jspecify.annotations.Nullable;

/**
 * One entry of the platform's VM list.
 *
 * @param id unique name
 * @param role {@code entry} or {@code backend}
 * @param service service of a backend VM, null for an entry VM
 * @param address peer address of an entry VM, HTTP address of a backend VM
 * @param failureDomain failure domain
 * @param state {@code live} or {@code leaving}
 */
public record PlatformVm(
    String id,
    String role,
    @Nullable String service,
    String address,
    String failureDomain,
    String state) {
  /**
   * Describes a live entry VM.
   *
   * @param id unique name
   * @param address peer address
   * @param failureDomain failure domain
   * @return the entry
   */
  public static PlatformVm entry(String id, String address, String failureDomain) {
    return new PlatformVm(id, "entry", null, address, failureDomain, "live");
  }

  /**
   * Describes a live backend VM.
   *
   * @param id unique name
   * @param service service name
   * @param address HTTP address
   * @param failureDomain failure domain
   * @return the entry
   */
  public static PlatformVm backend(
      String id, String service, String address, String failureDomain) {
    return new PlatformVm(id, "backend", service, address, failureDomain, "live");
  }

  PlatformVm withState(String newState) {
    return new PlatformVm(id, role, service, address, failureDomain, newState);
  }
}

package org.kumquatvane.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kumquatvane.core.VmId;
import org.kumquatvane.membership.ViewDigest;
import org.kumquatvane.membership.Vm;

/**
 * Set of VMs that can all reach each other, as far as this VM can tell.
 *
 * @param digest digest of the members
 * @param members the members, ordered by name
 */
public record CandidateView(long digest, List<Vm> members) {
  /**
   * Removes VMs until no link between the remaining ones is broken.
   *
   * <p>Each step removes the VM with the most broken links, and on a tie the one with the highest
   * name, so that VMs with the same reachability data compute the same set.
   *
   * @param vms the VMs to start from
   * @param unreachable for each reporting VM, the VMs from which it receives no heartbeats
   * @return the reduced set
   */
  public static CandidateView reduce(List<Vm> vms, Map<VmId, Set<VmId>> unreachable) {
    List<Vm> remaining = new ArrayList<>(vms);
    remaining.sort(Comparator.comparing(Vm::id));
    Map<VmId, Integer> brokenLinks = new HashMap<>();
    for (int i = 0; i < remaining.size(); i++) {
      for (int j = i + 1; j < remaining.size(); j++) {
        if (isBroken(remaining.get(i).id(), remaining.get(j).id(), unreachable)) {
          brokenLinks.merge(remaining.get(i).id(), 1, Integer::sum);
          brokenLinks.merge(remaining.get(j).id(), 1, Integer::sum);
        }
      }
    }
    while (!brokenLinks.isEmpty()) {
      int worst = 0;
      for (int i = 1; i < remaining.size(); i++) {
        if (links(brokenLinks, remaining.get(i)) >= links(brokenLinks, remaining.get(worst))) {
          worst = i;
        }
      }
      VmId removed = remaining.remove(worst).id();
      brokenLinks.remove(removed);
      for (Vm vm : remaining) {
        if (isBroken(removed, vm.id(), unreachable)) {
          brokenLinks.computeIfPresent(vm.id(), (id, count) -> count == 1 ? null : count - 1);
        }
      }
    }
    return new CandidateView(ViewDigest.of(remaining), List.copyOf(remaining));
  }

  private static int links(Map<VmId, Integer> brokenLinks, Vm vm) {
    return brokenLinks.getOrDefault(vm.id(), 0);
  }

  private static boolean isBroken(VmId one, VmId other, Map<VmId, Set<VmId>> unreachable) {
    return unreachable.getOrDefault(one, Set.of()).contains(other)
        || unreachable.getOrDefault(other, Set.of()).contains(one);
  }

  /**
   * Returns whether a VM is a member.
   *
   * @param vm the VM
   * @return whether it is in the set
   */
  public boolean contains(VmId vm) {
    return members.stream().anyMatch(member -> member.id().equals(vm));
  }
}

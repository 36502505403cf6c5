package org.kumquatvane.selection;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;

/** The instances of all services and the slots of them that this VM uses. */
public interface InstancePool {
  /**
   * Reserves a slot of the instance that the service's selection policy chooses.
   *
   * @param service the service
   * @param excluded instances that must not be chosen
   * @return the reservation, or empty if no eligible instance has a free slot
   */
  Optional<Reservation> reserve(ServiceName service, Set<InstanceId> excluded);

  /**
   * Reserves a slot for a request.
   *
   * @param service the service
   * @param requirements what the request needs
   * @return the reservation, or empty if no suitable instance has a free slot now
   */
  default Optional<Reservation> reserve(ServiceName service, SlotRequirements requirements) {
    return reserve(service, requirements.excluded());
  }

  /**
   * Gives a slot back.
   *
   * @param reservation a reservation of this pool, given back once
   */
  void release(Reservation reservation);

  /**
   * Gives a slot back that the instance refused to use.
   *
   * @param reservation a reservation of this pool, given back once
   */
  default void releaseShed(Reservation reservation) {
    release(reservation);
  }

  /**
   * Tells whether a service has an instance that is not leaving, busy or not.
   *
   * @param service the service
   * @return whether waiting makes sense
   */
  boolean hasInstance(ServiceName service);

  /**
   * Replaces the set of instances by that of a newer VM list.
   *
   * @param instances all instances of all services
   */
  void update(Collection<Instance> instances);

  /**
   * Marks an instance as leaving because it said so itself.
   *
   * @param service the service
   * @param instance the instance
   */
  void markLeaving(ServiceName service, InstanceId instance);

  /**
   * Returns the state of all instances for operators.
   *
   * @return a snapshot
   */
  List<InstanceStatus> status();
}

package org.kumquatvane.selection;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;

/** Instances of all services and the slots that this VM uses at them. */
public interface InstancePool {
  /**
   * Reserves a slot of the instance that the service's selection policy selects.
   *
   * @param service the service
   * @param excluded instances that must not be selected
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
   * Releases a slot.
   *
   * @param reservation a reservation of this pool, released only once
   */
  void release(Reservation reservation);

  /**
   * Releases a slot after the instance shed the request.
   *
   * @param reservation a reservation of this pool, released only once
   */
  default void releaseShed(Reservation reservation) {
    release(reservation);
  }

  /**
   * Returns whether a service has an instance that is not leaving, even if all its slots are in
   * use.
   *
   * @param service the service
   * @return whether a slot can become free
   */
  boolean hasInstance(ServiceName service);

  /**
   * Replaces the instances with those of a newer VM list.
   *
   * @param instances all instances of all services
   */
  void update(Collection<Instance> instances);

  /**
   * Excludes an instance for good because it has announced in a response that it leaves. The mark
   * ends with the instance: a process that starts again under its name is another one.
   *
   * @param service the service
   * @param instance the instance
   * @return whether it was not marked before
   */
  boolean markLeaving(ServiceName service, InstanceId instance);

  /**
   * Excludes an instance because another process responded at its address.
   *
   * @param service the service
   * @param instance the instance
   */
  default void markMisdirected(ServiceName service, InstanceId instance) {
    markLeaving(service, instance);
  }

  /**
   * Excludes an instance for the time for which it wants no requests of this VM. A shorter time
   * does not end an exclusion early.
   *
   * @param service the service
   * @param instance the instance
   * @param until when it can be selected again
   */
  void avoidUntil(ServiceName service, InstanceId instance, Deadline until);

  /**
   * Returns the state of all instances for operators.
   *
   * @return a snapshot
   */
  List<InstanceStatus> status();
}

package org.kumquatvane.standins;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.kumquatvane.standins.internal.HttpListener;
import org.kumquatvane.standins.internal.PlatformView;
import org.kumquatvane.standins.internal.Responses;
import org.kumquatvane.standins.internal.RevisionStore;

/**
 * The platform's configuration service and VM list, read-only over HTTP (design chapter 2.3).
 *
 * <p>Each listening port is a view with its own faults, so that readers can receive different
 * responses.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int MAXIMUM_CONNECTIONS = 10_000;

  private final AtomicLong versions = new AtomicLong();
  private final RevisionStore shared = new RevisionStore(versions);
  private final Map<String, PlatformVm> vms = new LinkedHashMap<>();
  private final List<PlatformView> views = new ArrayList<>();
  private final List<HttpListener> listeners = new ArrayList<>();

  /**
   * Starts the platform with one view and an empty VM list.
   *
   * @param port port of the first view, 0 for a free one
   */
  public PlatformStandIn(int port) {
    publishVms();
    addView(port);
  }

  /**
   * Opens another port with its own faults.
   *
   * @param port port on 127.0.0.1, 0 for a free one
   * @return number of the view; the first one is 0
   */
  public synchronized int addView(int port) {
    PlatformView view = new PlatformView(shared, new RevisionStore(versions));
    views.add(view);
    listeners.add(new HttpListener(port, MAXIMUM_CONNECTIONS, view));
    return views.size() - 1;
  }

  /**
   * Returns the port of a view.
   *
   * @param view number of the view
   * @return a port on 127.0.0.1
   */
  public synchronized int port(int view) {
    return listeners.get(view).port();
  }

  /**
   * Returns the number of calls that a view has received; a waiting watch counts as one call.
   *
   * @param view number of the view
   * @return a count
   */
  public synchronized long callCount(int view) {
    return views.get(view).callCount();
  }

  /**
   * Publishes a value to all views.
   *
   * @param name name of the value
   * @param content its bytes
   * @return the new version
   */
  public long putValue(String name, byte[] content) {
    return shared.put("values/" + name, version -> content);
  }

  /**
   * Publishes a value to one view only, where it permanently replaces the shared one.
   *
   * @param view number of the view
   * @param name name of the value
   * @param content its bytes
   * @return the new version
   */
  public synchronized long putValue(int view, String name, byte[] content) {
    long version = views.get(view).overrides().put("values/" + name, number -> content);
    shared.notifyWatches();
    return version;
  }

  /**
   * Adds or replaces a VM.
   *
   * @param vm the VM
   */
  public void putVm(PlatformVm vm) {
    synchronized (this) {
      vms.put(vm.id(), vm);
    }
    publishVms();
  }

  /**
   * Changes the state of a VM.
   *
   * @param id identifier of the VM
   * @param state {@code live} or {@code leaving}
   */
  public void setVmState(String id, String state) {
    synchronized (this) {
      vms.computeIfPresent(id, (key, vm) -> vm.withState(state));
    }
    publishVms();
  }

  /**
   * Removes a VM.
   *
   * @param id identifier of the VM
   */
  public void removeVm(String id) {
    synchronized (this) {
      vms.remove(id);
    }
    publishVms();
  }

  /**
   * Changes the faults of a view.
   *
   * @param view number of the view
   * @param availability whether calls are answered
   * @param vmListLagMillis minimum age in milliseconds of a VM list that is visible
   * @param revisionsBehind number of newest revisions to leave out
   */
  public synchronized void setViewFaults(
      int view, Availability availability, long vmListLagMillis, int revisionsBehind) {
    views.get(view).setFaults(availability, vmListLagMillis, revisionsBehind);
    if (availability == Availability.REFUSING) {
      listeners.get(view).close();
    } else {
      listeners.get(view).open();
    }
  }

  /**
   * Writes the state of all views.
   *
   * @param json receives an array
   * @throws IOException if the output fails
   */
  public synchronized void writeState(JsonGenerator json) throws IOException {
    json.writeStartArray();
    for (int i = 0; i < views.size(); i++) {
      PlatformView view = views.get(i);
      json.writeStartObject();
      json.writeNumberField("view", i);
      json.writeNumberField("port", listeners.get(i).port());
      json.writeNumberField("calls", view.callCount());
      json.writeStringField("availability", view.availability().name());
      json.writeNumberField("vmListLagMillis", view.vmListLagMillis());
      json.writeNumberField("revisionsBehind", view.revisionsBehind());
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  @Override
  public synchronized void close() {
    listeners.forEach(HttpListener::close);
  }

  private synchronized void publishVms() {
    List<PlatformVm> published = List.copyOf(vms.values());
    shared.put(PlatformView.VM_LIST, version -> renderVms(version, published));
  }

  private static byte[] renderVms(long version, List<PlatformVm> vms) {
    return Responses.renderJson(
        json -> {
          json.writeStartObject();
          json.writeNumberField("version", version);
          json.writeArrayFieldStart("vms");
          for (PlatformVm vm : vms) {
            json.writeStartObject();
            json.writeStringField("id", vm.id());
            json.writeStringField("role", vm.role());
            if (vm.service() != null) {
              json.writeStringField("service", vm.service());
            }
            json.writeStringField("address", vm.address());
            json.writeStringField("failureDomain", vm.failureDomain());
            json.writeStringField("state", vm.state());
            json.writeEndObject();
          }
          json.writeEndArray();
          json.writeEndObject();
        });
  }
}

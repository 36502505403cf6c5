package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.kumquatvane.membership.AgreedView;
import org.kumquatvane.membership.FleetMembership;

/** Reports the listed VMs and the agreed view. */
public final class PeersReport implements AdminReport {
  private final FleetMembership membership;

  /**
   * Creates the report.
   *
   * @param membership the fleet membership
   */
  public PeersReport(FleetMembership membership) {
    this.membership = membership;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    Optional<AgreedView> view = membership.agreedView();
    json.writeStartObject();
    json.writeStringField("self", membership.self().id().value());
    json.writeBooleanField("viewAgreed", view.isPresent());
    ReportWriter.writeObjects(
        json,
        "vms",
        membership.listedVms(),
        (generator, vm) -> {
          generator.writeStringField("vm", vm.id().value());
          generator.writeStringField("address", vm.peerAddress().toString());
          generator.writeStringField("failureDomain", vm.failureDomain().value());
          generator.writeStringField("state", vm.state().name().toLowerCase(Locale.ROOT));
          generator.writeBooleanField(
              "inView", view.map(agreed -> agreed.contains(vm.id())).orElse(false));
        });
    json.writeEndObject();
  }
}

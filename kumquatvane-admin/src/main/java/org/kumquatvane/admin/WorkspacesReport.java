package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Workspace;

/** Reports the workspaces, their rates and the fraction that this VM owns. */
public final class WorkspacesReport implements AdminReport {
  private final ConfigurationTable configuration;
  private final DoubleSupplier ownedFraction;

  /**
   * Creates the report.
   *
   * @param configuration source of the document in force
   * @param ownedFraction fraction of each rate and burst that this VM owns, from 0 to 1
   */
  public WorkspacesReport(ConfigurationTable configuration, DoubleSupplier ownedFraction) {
    this.configuration = configuration;
    this.ownedFraction = ownedFraction;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    List<Workspace> workspaces =
        configuration.current().map(Document::workspaces).orElse(List.of());
    double fraction = ownedFraction.getAsDouble();
    json.writeStartObject();
    json.writeNumberField("ownedFraction", fraction);
    ReportWriter.writeObjects(
        json,
        "workspaces",
        workspaces,
        (generator, workspace) -> {
          generator.writeStringField("workspace", workspace.id().value());
          generator.writeNumberField("ratePerSecond", workspace.rate().requestsPerSecond());
          generator.writeNumberField("burstRequests", workspace.rate().burstRequests());
          generator.writeNumberField("keys", workspace.keyDigests().size());
        });
    json.writeEndObject();
  }
}

package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Optional;
import org.kumquatvane.document.ConfigurationTable;
import org.kumquatvane.document.Document;

/** Reports the document in force. */
public final class ConfigurationReport implements AdminReport {
  private final ConfigurationTable configuration;

  /**
   * Creates the report.
   *
   * @param configuration source of the document in force
   */
  public ConfigurationReport(ConfigurationTable configuration) {
    this.configuration = configuration;
  }

  @Override
  public void write(JsonGenerator json) throws IOException {
    Optional<Document> inForce = configuration.current();
    json.writeStartObject();
    json.writeBooleanField("inForce", inForce.isPresent());
    if (inForce.isPresent()) {
      Document document = inForce.get();
      json.writeNumberField("generation", document.generation());
      json.writeStringField("digest", document.digest());
      json.writeNumberField("workspaces", document.workspaces().size());
      json.writeNumberField("services", document.services().size());
      json.writeNumberField("routes", document.routes().size());
    }
    json.writeEndObject();
  }
}

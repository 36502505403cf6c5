package org.kumquatvane.cli.status;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Options of the commands that call the admin API. */
public final class AdminOptions {
  @Parameter(names = "--admin", description = "address of the admin API as host:port", order = 0)
  private String address = "127.0.0.1:9090";

  @Parameter(
      names = "--token-file",
      description = "file with the bearer token of the admin API",
      order = 1)
  private @Nullable Path tokenFile;

  /**
   * Creates the client that the options describe.
   *
   * @return the client
   * @throws IOException if the token file cannot be read
   */
  public AdminClient client() throws IOException {
    Path file = tokenFile;
    Optional<String> token =
        file == null ? Optional.empty() : Optional.of(Files.readString(file).strip());
    return new AdminClient(address, token);
  }

  /**
   * Returns the address.
   *
   * @return host and port
   */
  public String address() {
    return address;
  }
}

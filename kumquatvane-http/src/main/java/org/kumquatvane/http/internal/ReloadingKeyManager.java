package org.kumquatvane.http.internal;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.http.TlsFiles;

/**
 * Key manager for one certificate that reloads its files when they change.
 *
 * <p>If the files cannot be read or parsed, the last valid certificate stays in use.
 */
public final class ReloadingKeyManager extends X509ExtendedKeyManager {
  private static final String ALIAS = "caller-listener";
  private static final long CHECK_INTERVAL_NANOS = 1_000_000_000L;
  private static final List<String> KEY_ALGORITHMS = List.of("EC", "RSA", "Ed25519");

  private final TlsFiles files;
  private final Clock clock;
  private final EventLog eventLog;
  private volatile Identity identity;
  private long nextCheckNanos;

  /**
   * Loads the files for the first time.
   *
   * @param files certificate and key
   * @param clock clock of the interval between file checks
   * @param eventLog records reloads and reload errors
   * @throws IOException if a file cannot be read
   * @throws GeneralSecurityException if a file has an unsupported format
   */
  public ReloadingKeyManager(TlsFiles files, Clock clock, EventLog eventLog)
      throws IOException, GeneralSecurityException {
    this.files = files;
    this.clock = clock;
    this.eventLog = eventLog;
    identity = read();
    nextCheckNanos = clock.monotonicNanos() + CHECK_INTERVAL_NANOS;
  }

  private record Identity(List<X509Certificate> chain, PrivateKey key, List<FileTime> times) {}

  private synchronized void reloadIfChanged() {
    if (clock.monotonicNanos() - nextCheckNanos < 0) {
      return;
    }
    nextCheckNanos = clock.monotonicNanos() + CHECK_INTERVAL_NANOS;
    try {
      if (!modificationTimes().equals(identity.times())) {
        identity = read();
        eventLog.record(EventLog.Level.INFO, "certificate_reloaded");
      }
    } catch (IOException | GeneralSecurityException e) {
      eventLog.record(EventLog.Level.WARNING, "certificate_reload_failed", LogField.of("error", e));
    }
  }

  private List<FileTime> modificationTimes() throws IOException {
    return List.of(
        Files.getLastModifiedTime(files.certificateChain()),
        Files.getLastModifiedTime(files.privateKey()));
  }

  private Identity read() throws IOException, GeneralSecurityException {
    List<FileTime> times = modificationTimes();
    byte[] chainBytes = Files.readAllBytes(files.certificateChain());
    List<X509Certificate> chain =
        CertificateFactory.getInstance("X.509")
            .generateCertificates(new ByteArrayInputStream(chainBytes))
            .stream()
            .map(X509Certificate.class::cast)
            .toList();
    if (chain.isEmpty()) {
      throw new GeneralSecurityException("no certificate in " + files.certificateChain());
    }
    return new Identity(chain, readKey(), times);
  }

  private PrivateKey readKey() throws IOException, GeneralSecurityException {
    String pem = Files.readString(files.privateKey(), StandardCharsets.US_ASCII);
    String base64 = pem.replaceAll("-----(BEGIN|END) PRIVATE KEY-----", "").replaceAll("\\s", "");
    byte[] der;
    try {
      der = Base64.getDecoder().decode(base64);
    } catch (IllegalArgumentException e) {
      throw new GeneralSecurityException("private key is not an unencrypted PKCS #8 PEM file", e);
    }
    for (String algorithm : KEY_ALGORITHMS) {
      try {
        return KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(der));
      } catch (GeneralSecurityException ignored) {
        // The PEM header does not name the algorithm, so the next one is tried.
      }
    }
    throw new GeneralSecurityException("unsupported private key in " + files.privateKey());
  }

  @Override
  public @Nullable String chooseEngineServerAlias(
      String keyType, Principal @Nullable [] issuers, @Nullable SSLEngine engine) {
    reloadIfChanged();
    return keyType.equals(identity.key().getAlgorithm()) ? ALIAS : null;
  }

  @Override
  public @Nullable String chooseServerAlias(
      String keyType, Principal @Nullable [] issuers, @Nullable Socket socket) {
    return chooseEngineServerAlias(keyType, issuers, null);
  }

  @Override
  public String[] getServerAliases(String keyType, Principal @Nullable [] issuers) {
    return new String[] {ALIAS};
  }

  @Override
  public X509Certificate[] getCertificateChain(String alias) {
    return identity.chain().toArray(new X509Certificate[0]);
  }

  @Override
  public PrivateKey getPrivateKey(String alias) {
    return identity.key();
  }

  @Override
  public @Nullable String chooseClientAlias(
      String[] keyType, Principal @Nullable [] issuers, @Nullable Socket socket) {
    return null;
  }

  @Override
  public String @Nullable [] getClientAliases(String keyType, Principal @Nullable [] issuers) {
    return null;
  }
}

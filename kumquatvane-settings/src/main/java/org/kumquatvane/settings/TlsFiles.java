package org.kumquatvane.settings;

import java.nio.file.Path;

/**
 * Files of a TLS certificate and its private key.
 *
 * @param certificate PEM file with the certificate chain
 * @param key PEM file with the PKCS #8 private key
 */
public record TlsFiles(Path certificate, Path key) {}

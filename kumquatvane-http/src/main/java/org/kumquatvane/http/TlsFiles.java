package org.kumquatvane.http;

import java.nio.file.Path;

/**
 * Certificate files of a listener; reloaded when they change.
 *
 * @param certificateChain PEM file with the certificate and its chain
 * @param privateKey PEM file with the unencrypted PKCS #8 private key
 */
public record TlsFiles(Path certificateChain, Path privateKey) {}

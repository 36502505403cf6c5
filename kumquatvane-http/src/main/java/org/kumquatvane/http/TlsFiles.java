package org.kumquatvane.http;

import java.nio.file.Path;

/**
 * Files of a listener's certificate; read again when they change.
 *
 * @param certificateChain PEM file with the certificate and its chain
 * @param privateKey PEM file with the unencrypted PKCS #8 key
 */
public record TlsFiles(Path certificateChain, Path privateKey) {}

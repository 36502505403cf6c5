package org.kumquatvane.settings;

import org.kumquatvane.core.SocketEndpoint;

/**
 * Address of the platform's configuration service.
 *
 * @param endpoint address and port
 * @param documentName name of the value that holds the document
 */
public record PlatformSettings(SocketEndpoint endpoint, String documentName) {}

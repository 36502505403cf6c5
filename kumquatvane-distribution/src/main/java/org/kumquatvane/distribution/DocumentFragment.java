package org.kumquatvane.distribution;

/**
 * Reference to a platform value that holds a part of a document.
 *
 * @param name name of the platform value
 * @param digest digest of its bytes
 */
public record DocumentFragment(String name, ContentDigest digest) {}

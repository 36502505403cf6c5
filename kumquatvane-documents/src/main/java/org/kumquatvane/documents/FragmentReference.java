package org.kumquatvane.documents;

/**
 * Reference to a platform value that holds a part of a document.
 *
 * @param name name of the platform value
 * @param sha256 SHA-256 of its bytes in lower-case hexadecimal
 */
public record FragmentReference(String name, String sha256) {}

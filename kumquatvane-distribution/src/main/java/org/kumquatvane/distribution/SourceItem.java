package org.kumquatvane.distribution;

import java.util.Optional;

/**
 * A key and its value in the configuration source.
 *
 * @param key the key
 * @param value bytes of the value; empty if the key was removed
 * @param revision revision of the source at the last change of the key
 */
public record SourceItem(String key, Optional<byte[]> value, long revision) {}

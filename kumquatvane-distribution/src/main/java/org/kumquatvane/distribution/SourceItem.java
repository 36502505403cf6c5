package org.kumquatvane.distribution;

import java.util.Optional;

/**
 * A value of the configuration source under its key.
 *
 * @param key its key
 * @param value its bytes; empty if the key was removed
 * @param revision revision of the source at its last change
 */
public record SourceItem(String key, Optional<byte[]> value, long revision) {}

package org.kumquatvane.json;

/**
 * A value with its place, for checks that need the whole input.
 *
 * @param value the value
 * @param location where it stands
 * @param <T> type of the value
 */
public record Located<T>(T value, SourceLocation location) {}

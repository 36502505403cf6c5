package org.kumquatvane.json;

/**
 * A value with its location, for checks that run after the whole input is read.
 *
 * @param value the value
 * @param location location of the value
 * @param <T> type of the value
 */
public record Located<T>(T value, SourceLocation location) {}

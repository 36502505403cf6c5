package org.kumquatvane.json;

/**
 * Bounds of an input, checked while reading.
 *
 * @param maximumBytes size of the input
 * @param maximumDepth nesting of objects and arrays
 * @param maximumStringLength length of a string
 */
public record JsonLimits(int maximumBytes, int maximumDepth, int maximumStringLength) {
  /**
   * The platform holds values of up to a megabyte; both inputs nest five levels at most; the
   * longest text is a file path or an address.
   */
  public static final JsonLimits STANDARD = new JsonLimits(1_048_576, 16, 4_096);
}

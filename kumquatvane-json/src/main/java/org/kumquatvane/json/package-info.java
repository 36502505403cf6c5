/** Strict JSON parser that accepts comments and reports faults with line and column. */
@NullMarked
package org.kumquatvane.json;

import org.jspecify.annotations.NullMarked;

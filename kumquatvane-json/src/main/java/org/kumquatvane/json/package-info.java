/** Strict JSON with comments whose faults have line and column. */
@NullMarked
package org.kumquatvane.json;

import org.jspecify.annotations.NullMarked;

/** Storage of key digests; internal to this module. */
@NullMarked
package org.kumquatvane.keys.internal;

import org.jspecify.annotations.NullMarked;

/** Storage of key digests. */
@NullMarked
package org.kumquatvane.keys.internal;

import org.jspecify.annotations.NullMarked;

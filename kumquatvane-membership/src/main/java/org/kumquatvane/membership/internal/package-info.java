/** Internal parts of the membership protocols. */
@NullMarked
package org.kumquatvane.membership.internal;

import org.jspecify.annotations.NullMarked;

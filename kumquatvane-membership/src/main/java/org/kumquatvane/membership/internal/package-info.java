/** Parts of membership that no other module uses. */
@NullMarked
package org.kumquatvane.membership.internal;

import org.jspecify.annotations.NullMarked;

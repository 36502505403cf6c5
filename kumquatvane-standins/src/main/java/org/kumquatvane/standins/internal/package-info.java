/** Implementation of the stand-ins. */
@NullMarked
package org.kumquatvane.standins.internal;

import org.jspecify.annotations.NullMarked;

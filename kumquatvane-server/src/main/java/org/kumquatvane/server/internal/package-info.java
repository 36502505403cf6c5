/** Parts of a running process; not part of the module's interface. */
@NullMarked
package org.kumquatvane.server.internal;

import org.jspecify.annotations.NullMarked;

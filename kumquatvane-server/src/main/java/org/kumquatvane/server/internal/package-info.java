/** Components of a server; not part of the public API of the module. */
@NullMarked
package org.kumquatvane.server.internal;

import org.jspecify.annotations.NullMarked;

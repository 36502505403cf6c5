/** Tests of the components of a server. */
@NullMarked
package org.kumquatvane.server.internal;

import org.jspecify.annotations.NullMarked;

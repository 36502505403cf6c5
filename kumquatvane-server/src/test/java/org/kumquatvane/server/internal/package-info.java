/** Tests of the parts of a running process. */
@NullMarked
package org.kumquatvane.server.internal;

import org.jspecify.annotations.NullMarked;

/** Tests of the binary as separate processes with stand-ins for the users' platform. */
@NullMarked
package org.kumquatvane.verification.platform;

import org.jspecify.annotations.NullMarked;

/** The binary as separate processes on a stand-in of the users' platform. */
@NullMarked
package org.kumquatvane.verification.platform;

import org.jspecify.annotations.NullMarked;

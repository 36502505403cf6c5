/** Stand-ins for the platform and for backend servers. */
@NullMarked
package org.kumquatvane.standins;

import org.jspecify.annotations.NullMarked;

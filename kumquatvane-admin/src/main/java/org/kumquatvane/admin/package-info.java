/** Admin API of one VM. */
@NullMarked
package org.kumquatvane.admin;

import org.jspecify.annotations.NullMarked;

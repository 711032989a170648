/**
 * Entry points of the measurements and of the randomised fault tests. None of the
 * packages below is shipped.
 */
package org.redwingramp.bench;

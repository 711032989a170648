/**
 * What single entry instances observe and the whole fleet needs to know: entry instances
 * report it to the control leader, which distributes it in the view.
 */
package org.redwingramp.core.observation;

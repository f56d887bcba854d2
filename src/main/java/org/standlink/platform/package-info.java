/**
 * The adapter to the users' platform: its names, formats and calls. Nothing here decides.
 *
 * <p>What comes in is decoded once into types of the project; what goes out is encoded here. Other
 * packages define the interfaces that these classes implement.
 */
package org.standlink.platform;

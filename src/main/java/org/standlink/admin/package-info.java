/** The administration API of the entry, and the health and metrics of every process. */
package org.standlink.admin;

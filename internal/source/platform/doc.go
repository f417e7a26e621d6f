// Package platform is the source of endpoints that follows the platform's discovery service.
package platform

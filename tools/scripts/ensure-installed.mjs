// Installs the dependencies when they are missing or older than the lock file.
import { execFileSync } from 'node:child_process'
import fs from 'node:fs'

const INSTALLED_LOCK = 'node_modules/.package-lock.json'

const isInstalled = fs.existsSync(INSTALLED_LOCK) && fs.statSync(INSTALLED_LOCK).mtimeMs >= fs.statSync('package-lock.json').mtimeMs
if (!isInstalled) {
  execFileSync('npm', ['install', '--no-audit', '--no-fund', '--ignore-scripts'], { stdio: 'inherit' })
  fs.utimesSync(INSTALLED_LOCK, new Date(), new Date())
}

// Installs the workspace's packages when they are missing or older than the lock file.
import { execFileSync } from 'node:child_process'
import fs from 'node:fs'

const MARK = 'node_modules/.package-lock.json'

const isInstalled = fs.existsSync(MARK) && fs.statSync(MARK).mtimeMs >= fs.statSync('package-lock.json').mtimeMs
if (!isInstalled) {
  execFileSync('npm', ['install', '--no-audit', '--no-fund', '--ignore-scripts'], { stdio: 'inherit' })
  fs.utimesSync(MARK, new Date(), new Date())
}
